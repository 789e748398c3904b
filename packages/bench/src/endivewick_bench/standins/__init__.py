"""Small stand-ins for the outside systems that endivewick meets."""
