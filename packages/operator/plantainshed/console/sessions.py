"""Who is logged in, and the token that protects their forms."""

import hmac
import secrets
from http.cookies import CookieError, SimpleCookie

import trio
from attrs import define

COOKIE = "plantainshed_session"
TOKEN_BYTES = 24
LIFETIME_S = 8 * 3600.0
FAILED_LOGIN_DELAY_S = 1.0


@define
class OperatorSession:
    """One operator's session.

    Parameters
    ----------
    operator : str
        Who changes are recorded under.
    form_token : str
        Every form that changes something bears it, so that another site's
        page cannot send one in the operator's name.
    until : float
    """

    operator: str
    form_token: str
    expires_at: float


class Sessions:
    """The sessions of one console process.

    Parameters
    ----------
    password : str
        What operators enter; from the settings.
    """

    def __init__(self, password: str):
        self.password = password
        self._sessions: dict[str, OperatorSession] = {}

    async def log_in(self, operator: str, password: str) -> str | None:
        """Return the cookie of a new session, None for a wrong password."""
        if not hmac.compare_digest(password.encode(), self.password.encode()):
            # Slows down whoever tries passwords, and nobody else.
            await trio.sleep(FAILED_LOGIN_DELAY_S)
            return None
        name = secrets.token_urlsafe(TOKEN_BYTES)
        self._sessions[name] = OperatorSession(
            operator or "operator",
            secrets.token_urlsafe(TOKEN_BYTES),
            trio.current_time() + LIFETIME_S,
        )
        return f"{COOKIE}={name}; HttpOnly; SameSite=Strict; Path=/"

    def find(self, cookie_header: str | None) -> OperatorSession | None:
        """Return the session of a request's cookie header."""
        try:
            cookies = SimpleCookie(cookie_header or "")
        except CookieError:
            return None
        cookie = cookies.get(COOKIE)
        session = self._sessions.get(cookie.value) if cookie else None
        if session is None or session.expires_at < trio.current_time():
            return None
        return session

    def is_form_token_valid(
        self, session: OperatorSession, form: dict[str, str]
    ) -> bool:
        """Tell whether a form came from a page that this console made."""
        return hmac.compare_digest(form.get("form_token", ""), session.form_token)
