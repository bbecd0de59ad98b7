"""Operator commands that a running daemon accepts on its control port."""

import hmac

import orjson

from plantainshed_coordination.peer_pb2 import ControlReply, ControlRequest

from .node import Node

WITHDRAW_KEY = "withdraw-key"
STATUS = "status"
FACTS = "facts"


class Commands:
    """Executes operators' commands on a node.

    Parameters
    ----------
    node : Node
    credential : bytes
        The fleet's secret, which each command must contain. If the settings
        name no secret, it is empty, and commands must contain an empty one.
    """

    def __init__(self, node: Node, credential: bytes):
        self.node = node
        self.credential = credential
        self.handlers = {
            WITHDRAW_KEY: self._withdraw_key,
            STATUS: self._status,
            FACTS: self._facts,
        }

    async def handle(self, request: ControlRequest) -> ControlReply:
        """Execute one command."""
        if not hmac.compare_digest(request.credential.encode(), self.credential):
            return ControlReply(
                message="the credential does not match the fleet's secret"
            )
        command = self.handlers.get(request.command)
        if command is None:
            known = ", ".join(self.handlers)
            return ControlReply(
                message=f"command: {request.command!r} is not one of {known}"
            )
        value = command(orjson.loads(request.arguments or b"{}"))
        return ControlReply(accepted=True, value=orjson.dumps(value))

    def _withdraw_key(self, arguments: dict) -> dict:
        self.node.withdraw_key(arguments["key_id"])
        return {"key_id": arguments["key_id"]}

    def _facts(self, arguments: dict) -> dict:
        return self.node.statistics.as_fields()

    def _status(self, arguments: dict) -> dict:
        return fleet_status(self.node)


def fleet_status(node: Node) -> dict:
    """Return a node's view of every VM as plain values for operators."""
    membership = node.membership
    digest = node.rumors.digest
    vms = []
    for record in sorted(membership.records(), key=lambda record: record.vm):
        vms.append(
            {
                "vm": record.vm,
                "failure_domain": record.failure_domain,
                "state": record.state,
                "liveness": str(membership.liveness(record.vm)),
                "document_version": record.document_version,
                "withdrawals_confirmed": record.tombstone_digest == digest,
                "listen": record.listen,
                "control": record.control,
            }
        )
    return {
        "asked": membership.identity.vm,
        "document_version": node.version,
        "withdrawn_keys": node.rumors.names("key-withdrawn"),
        "refused_versions": {str(v): w for v, w in node.follower.refused.items()},
        "vms": vms,
    }
