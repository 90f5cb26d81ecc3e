"""The replicated state: documents, routing table, drains, evacuations, outcomes."""

import json
from collections import OrderedDict
from dataclasses import asdict

from agatethread.exceptions import DocumentError
from agatethread.routing import add_earlier_services
from agatethread.wire.control_pb2 import (
    Command,
    ControlState,
    DocumentRecord,
    Members,
    Outcome,
    OutcomeRecord,
    PutDocument,
    PutRoutes,
    SetDrain,
    SetEvacuation,
)
from agatethread.wire.registry_pb2 import Evacuations, RoutingTable

#: Outcomes stored for retries; at 20,000 changes a day they cover half a day, longer
#: than a client retries.
_MAX_OUTCOMES = 10_000
#: Longest name of a failure domain, as in reports of backend servers.
_MAX_NAME_BYTES = 255
#: Bounds the replicated state if a script evacuates ever new names; far more than the 7
#: failure domains that are planned for.
MAX_EVACUATED_DOMAINS = 64


class ReplicatedState:
    """Applies committed commands in order; equal logs give equal states."""

    def __init__(self) -> None:
        self.documents: dict[str, DocumentRecord] = {}
        self.drained: set[str] = set()
        #: Evacuated failure domains; the version is the last change's log index.
        self.evacuations = Evacuations()
        #: The routing table, if operators use one in place of documents.
        self.routes = PutRoutes()
        #: Members of the log as of the last applied entry.
        self.members = Members()
        self.last_index = 0
        self.last_term = 0
        #: Index of the last command with an accepted outcome, also one without effect.
        self.change_index = 0
        self._outcomes: OrderedDict[str, Outcome] = OrderedDict()

    def apply(self, index: int, term: int, data: bytes) -> Outcome:
        """Apply one committed entry.

        Parameters
        ----------
        index, term : int
            Index and term of the entry.
        data : bytes
            A serialized `Command`; empty for a leader's first entry.

        Returns
        -------
        Outcome
            The outcome; for a retried change the outcome of its first attempt.
        """
        self.last_index, self.last_term = index, term
        if not data:
            return Outcome(accepted=True, index=index)

        command = Command.FromString(data)
        earlier_outcome = self._outcomes.get(command.change_id)
        if earlier_outcome is not None:
            return earlier_outcome

        outcome = self._apply_command(index, command)
        if outcome.accepted:
            self.change_index = index
        if command.change_id:
            self._outcomes[command.change_id] = outcome
            if len(self._outcomes) > _MAX_OUTCOMES:
                self._outcomes.popitem(last=False)
        return outcome

    def get_outcome(self, change_id: str) -> Outcome | None:
        """Return the outcome of an applied change.

        Parameters
        ----------
        change_id : str
            The operator's id of the change.

        Returns
        -------
        Outcome or None
            None if no outcome is stored.
        """
        return self._outcomes.get(change_id)

    def _apply_command(self, index: int, command: Command) -> Outcome:
        if command.WhichOneof("body") == "set_drain":
            return self._set_drain(index, command.set_drain)
        if command.WhichOneof("body") == "put_routes":
            return self._put_routes(index, command.put_routes)
        if command.WhichOneof("body") == "set_evacuation":
            return self._set_evacuation(index, command.set_evacuation)
        return self._put_document(index, command.put_document, command.change_id)

    def _set_drain(self, index: int, drain: SetDrain) -> Outcome:
        if drain.draining:
            self.drained.add(drain.name)
        else:
            self.drained.discard(drain.name)
        return Outcome(accepted=True, index=index)

    def _set_evacuation(self, index: int, change: SetEvacuation) -> Outcome:
        domains = set(self.evacuations.failure_domains)
        if change.evacuated == (change.failure_domain in domains):
            return Outcome(accepted=True, index=index)
        if change.evacuated and len(domains) >= MAX_EVACUATED_DOMAINS:
            error = f"{MAX_EVACUATED_DOMAINS} failure domains are evacuated already"
            return Outcome(accepted=False, error=error)

        domains ^= {change.failure_domain}
        self.evacuations = Evacuations(version=index, failure_domains=sorted(domains))
        return Outcome(accepted=True, index=index)

    def _put_document(self, index: int, put: PutDocument, change_id: str) -> Outcome:
        current = self.documents.get(put.service)
        version = current.version if current else 0
        if put.version != version + 1:
            return Outcome(
                accepted=False,
                current_version=version,
                winner_change_id=current.change_id if current else "",
                error=f"version {put.version} does not follow {version}",
            )

        self.documents[put.service] = DocumentRecord(
            service=put.service,
            version=put.version,
            text=put.text,
            change_id=change_id,
            index=index,
            compact=put.compact,
        )
        return Outcome(accepted=True, index=index, current_version=put.version)

    def _put_routes(self, index: int, put: PutRoutes) -> Outcome:
        # The highest version wins in any order of arrival; the first change wins among
        # equal versions.
        if put.version > self.routes.version:
            # Services that only the current table has are added to the new one.
            table = RoutingTable.FromString(put.table)
            current_table = RoutingTable.FromString(self.routes.table)
            add_earlier_services(table, current_table)
            self.routes = PutRoutes(
                version=put.version,
                source=put.source,
                table=table.SerializeToString(deterministic=True),
            )
        return Outcome(accepted=True, index=index, current_version=self.routes.version)

    def snapshot(self) -> ControlState:
        """Return the state as a message.

        Returns
        -------
        ControlState
            The state; equal states give equal bytes in deterministic serialization.
        """
        return ControlState(
            last_index=self.last_index,
            last_term=self.last_term,
            change_index=self.change_index,
            documents=[self.documents[name] for name in sorted(self.documents)],
            outcomes=[
                OutcomeRecord(change_id=change_id, outcome=outcome)
                for change_id, outcome in self._outcomes.items()
            ],
            drained=sorted(self.drained),
            routes=self.routes,
            members=self.members,
            evacuations=self.evacuations,
        )

    def restore(self, snapshot: ControlState) -> None:
        """Replace the state by that of a snapshot.

        Parameters
        ----------
        snapshot : ControlState
            Return value of `snapshot`.
        """
        self.last_index = snapshot.last_index
        self.last_term = snapshot.last_term
        self.change_index = snapshot.change_index
        self.documents = {record.service: record for record in snapshot.documents}
        self.drained = set(snapshot.drained)
        self.routes = PutRoutes()
        self.routes.CopyFrom(snapshot.routes)
        self.members = Members()
        self.members.CopyFrom(snapshot.members)
        self.evacuations = Evacuations()
        self.evacuations.CopyFrom(snapshot.evacuations)
        self._outcomes = OrderedDict(
            (record.change_id, record.outcome) for record in snapshot.outcomes
        )


def find_domain_name_error(failure_domain: str) -> str:
    """Return why a name is not valid for a failure domain.

    Whether such a failure domain exists isn't checked: a control instance that has just
    started has not received all of them, and must not reject the request for that.

    Parameters
    ----------
    failure_domain : str
        The name.

    Returns
    -------
    str
        The error, or an empty string.
    """
    if not failure_domain:
        return "a failure domain needs a name"
    if not failure_domain.isprintable() or set(failure_domain) & set(" /"):
        return "a failure domain's name holds no spaces, slashes or control characters"
    if len(failure_domain.encode()) > _MAX_NAME_BYTES:
        return f"a failure domain's name has at most {_MAX_NAME_BYTES} bytes"
    return ""


def check_command(command: Command) -> str:
    """Check a command before it is proposed; add the JSON form of a document to it.

    Parameters
    ----------
    command : Command
        The command; `put_document.compact` is set if it is valid.

    Returns
    -------
    str
        The error, or an empty string.
    """
    if not command.change_id:
        return "a change needs a change id"
    if command.WhichOneof("body") == "set_evacuation":
        return find_domain_name_error(command.set_evacuation.failure_domain)
    if command.WhichOneof("body") != "put_document":
        return "" if command.set_drain.name else "a drain needs a name"

    put = command.put_document
    try:
        # Imported here to shorten the start of a process with a routing table.
        from agatethread.settings import parse_document

        document = parse_document(put.service, put.text.decode())
    except DocumentError as error:
        return "; ".join(str(fault) for fault in error.exceptions)
    except UnicodeDecodeError:
        return "the document is not UTF-8"
    if (document.service, document.version) != (put.service, put.version):
        return "service and version differ from the document's own"
    put.compact = json.dumps(asdict(document), separators=(",", ":")).encode()
    return ""
