"""The decisions of endivewick: pure reducers without I/O."""
