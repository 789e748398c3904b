"""The endivewickd process: HTTP, zmq, disk, timers, metrics and logs."""
