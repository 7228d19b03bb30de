"""The platform's table service and object store."""
