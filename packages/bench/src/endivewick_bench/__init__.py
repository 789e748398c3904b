"""Stand-ins, load and slopes for measuring endivewick."""
