"""The operators' side: command line, console, reports and demo.

`changes` changes the document and the fleet, `views` only reads them; `cli`
and `console` offer both to people. `demo` runs a whole fleet in one process.
"""
