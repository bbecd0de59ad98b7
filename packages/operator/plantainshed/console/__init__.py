"""The web console: pages rendered on the server, usable without JavaScript.

`server` handles HTTP requests, `sessions` logins. `pages` renders the pages, `actions`
makes the changes that forms request, and `forms` converts form input to items of the
document.
"""
