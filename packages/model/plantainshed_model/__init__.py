"""The traffic document: schema, checks, encoding, differences and edits.

`document` holds the data, `checks` what makes one valid, `codec` its segments,
`queries` and `commands` what operators read and change, `blocks` the compact
table of client blocks, `keys` the making and checking of callers' keys.
"""
