"""The decisions of a proxy: entry of requests, homes of groups, sessions and upstreams."""
