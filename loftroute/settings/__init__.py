"""The product's own settings: protobuf text format, read and checked in one place."""
