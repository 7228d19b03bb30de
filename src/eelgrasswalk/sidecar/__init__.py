"""The node beside a target on a platform with a store of rows."""
