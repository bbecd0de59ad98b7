"""The report of measured facts for the parent group.

`gather` collects the data from all VMs and from the document's history. `page` renders
it as text, JSON or HTML. The report lists every source that did not answer, so that
missing data is never hidden.
"""
