"""Sessions on persistent connections, served over a pool of upstream connections."""
