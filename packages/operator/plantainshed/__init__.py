"""The operators' tools: command line, web console, reports and demo.

`changes` has the operations that change the document and the fleet, `views` those that
only read them. `cli` and `console` are the user interfaces for both. `report` collects
measurements from the fleet. `demo` runs a whole fleet in one process.
"""
