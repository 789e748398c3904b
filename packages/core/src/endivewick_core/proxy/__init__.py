"""The decision logic of a proxy: ingress of requests, homes of groups, sessions and upstreams."""
