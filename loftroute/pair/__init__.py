"""A pair of relays that replicate records of requests, so that no request runs twice after a failover."""
