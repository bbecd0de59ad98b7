"""``plantainshed key``, ``drain``, ``shift`` and ``status``."""

from fire.decorators import SetParseFn

from plantainshed_coordination.members import MemberState
from plantainshed_model import commands
from plantainshed_model.document import DrainKind, Shift, ShiftState

from ..changes import edit, issue, withdraw
from ..errors import BadUsage
from ..views import fleet_status, load_current
from .output import print_json, print_revision, print_rows
from .session import Session


class KeyCommands:
    """Issue, withdraw and list callers' keys."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str, "workspace", "reason")
    def issue(self, workspace: str, reason: str = "key issued"):
        """Issue a key for a workspace; the key is shown only once."""
        key, revision = self._session.run(issue, workspace, reason)
        if self._session.json:
            print_json(
                {
                    "key": key.text,
                    "key_id": key.entry.key_id,
                    "version": revision.version,
                }
            )
        else:
            print(f"{key.text}\nSave it now: it cannot be shown again.")

    @SetParseFn(str, "key_id", "reason")
    def withdraw(self, key_id: str, reason: str = "key withdrawn"):
        """Withdraw a key on the running fleet, then record it in the document."""
        withdrawal = self._session.run(withdraw, key_id, reason)
        version = withdrawal.revision.version if withdrawal.revision else None
        if self._session.json:
            print_json(
                {
                    "key_id": key_id,
                    "told": withdrawal.notified_control,
                    "version": version,
                }
            )
            return
        if withdrawal.notified_control:
            print(f"{key_id}: withdrawn; spreading from {withdrawal.notified_control}")
        else:
            print(
                f"{key_id}: no VM could be reached; VMs learn of it from the document"
            )
        if version:
            print(f"recorded in version {version}")
        else:
            print("NOT recorded: the store cannot be reached; repeat the command later")
        print("'plantainshed status' shows which VMs have confirmed it")

    @SetParseFn(str, "workspace")
    def list(self, workspace: str = ""):
        """List keys by their public ids."""
        keys = self._session.run(load_current).document.keys
        rows = [
            {
                "key_id": key.key_id,
                "workspace": key.workspace,
                "state": "withdrawn" if key.withdrawn else "valid",
            }
            for key in keys
            if workspace in ("", key.workspace)
        ]
        print_rows(rows, self._session.json)


class DrainCommands:
    """Drain a target, a VM or a failure domain without interrupting requests."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str, "kind", "name", "reason")
    def start(self, kind: str, name: str, reason: str = "drain"):
        """Start a drain; KIND is target, vm or failure_domain."""
        self._edit(
            lambda document: commands.start_drain(document, _parse_kind(kind), name),
            reason,
        )

    @SetParseFn(str, "kind", "name", "reason")
    def end(self, kind: str, name: str, reason: str = "drain ended"):
        """End a drain."""
        self._edit(
            lambda document: commands.end_drain(document, _parse_kind(kind), name),
            reason,
        )

    def list(self):
        """List the drains."""
        drains = self._session.run(load_current).document.drains
        rows = [{"kind": str(drain.kind), "name": drain.name} for drain in drains]
        print_rows(rows, self._session.json)

    def _edit(self, change, reason: str):
        print_revision(self._session.run(edit, change, reason), self._session.json)


class ShiftCommands:
    """Move a pool's traffic between two regions, with a rate limit."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str, "name", "pool", "from_region", "to_region", "reason")
    def start(
        self,
        name: str,
        pool: str,
        from_region: str,
        to_region: str,
        cap: float,
        reason: str = "shift",
    ):
        """Start a shift; CAP limits the moved traffic, in requests per second."""
        shift = Shift(name, pool, from_region, to_region, float(cap))
        self._edit(lambda document: commands.put_shift(document, shift), reason)

    @SetParseFn(str, "name", "reason")
    def stop(self, name: str, reason: str = "shift stopped"):
        """Stop moving traffic; the cap still limits overflow between the regions."""
        self._set_state(name, ShiftState.STOPPED, reason)

    @SetParseFn(str, "name", "reason")
    def resume(self, name: str, reason: str = "shift resumed"):
        """Resume a stopped or reversed shift."""
        self._set_state(name, ShiftState.RUNNING, reason)

    @SetParseFn(str, "name", "reason")
    def reverse(self, name: str, reason: str = "shift reversed"):
        """Move the traffic in the other direction, with the same cap."""
        self._set_state(name, ShiftState.REVERSED, reason)

    @SetParseFn(str, "name", "reason")
    def remove(self, name: str, reason: str = "shift removed"):
        """Remove a shift together with its cap."""
        self._edit(lambda document: commands.remove_shift(document, name), reason)

    def list(self):
        """List shifts."""
        rows = [
            {
                "name": shift.name,
                "pool": shift.pool,
                "from": shift.from_region,
                "to": shift.to_region,
                "cap": shift.cap,
                "state": str(shift.state),
            }
            for shift in self._session.run(load_current).document.shifts
        ]
        print_rows(rows, self._session.json)

    def _set_state(self, name: str, state: ShiftState, reason: str):
        self._edit(
            lambda document: commands.set_shift_state(document, name, state), reason
        )

    def _edit(self, change, reason: str):
        print_revision(self._session.run(edit, change, reason), self._session.json)


def print_status(session: Session):
    """Print the status of the fleet, as known to the first VM that answers."""
    status = session.run(fleet_status)
    if session.json:
        print_json(status)
        return
    print(
        f"as seen by {status['asked']}, document version {status['document_version']}"
    )
    rows = [
        {
            "vm": vm["vm"],
            "failure_domain": vm["failure_domain"],
            "state": MemberState(vm["state"]).name.lower(),
            "liveness": vm["liveness"],
            "version": vm["document_version"],
            "withdrawals": "confirmed" if vm["withdrawals_confirmed"] else "NOT YET",
        }
        for vm in status["vms"]
    ]
    print_rows(rows, as_json=False)


def _parse_kind(text: str) -> DrainKind:
    try:
        return DrainKind(text)
    except ValueError:
        allowed = ", ".join(DrainKind)
        raise BadUsage(f"kind: {text!r} is not one of {allowed}") from None
