"""The product settings: a file in protobuf text format, parsed and validated."""
