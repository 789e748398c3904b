"""The operators command endivewickctl."""
