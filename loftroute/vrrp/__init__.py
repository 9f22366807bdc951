"""VRRP version 3: one address, several relays, carried over UDP to a list of peers."""
