"""The operators' command line tool, endivewickctl."""
