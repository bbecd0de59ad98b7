"""The page of measured facts for the parent group.

`gather` asks every VM and the history, `page` writes the answer as text, JSON
or HTML. What could not be asked is named, never left out.
"""
