"""The gateway: serves client sessions over a shared pool of upstream connections."""
