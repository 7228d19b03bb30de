"""The configuration document: schema, validation, differences."""
