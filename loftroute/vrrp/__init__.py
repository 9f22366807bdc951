"""VRRP version 3 (RFC 9568) for the relays of a site, carried over UDP to a configured list of peers."""
