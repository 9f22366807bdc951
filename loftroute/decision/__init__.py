"""Decision module: the policy, the types of its interface, and the state that it keeps."""
