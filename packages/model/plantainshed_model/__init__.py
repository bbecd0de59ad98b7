"""The traffic document: schema, validation, serialization, comparison and edits.

`document` defines the data classes, `checks` validates them and `codec` converts them
to and from JSON segments. `queries` and `commands` are the read and edit operations.
`blocks` is the compact lookup table of client blocks. `keys` creates and verifies
callers' keys.
"""
