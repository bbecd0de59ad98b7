"""The console of forms: pages rendered here, working without scripts.

`server` answers requests, `sessions` knows who is logged in, `pages` shows,
`actions` changes, `forms` turns what was typed into parts of the document.
"""
