"""The logic of endivewick as pure reducers: events in, effects out, no I/O."""
