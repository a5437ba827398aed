"""The adapter of the platform's VM list."""

import json

from pydantic import BaseModel, TypeAdapter, ValidationError

from buckthornstile.platform._client import PlatformClient, make_malformed_error
from buckthornstile.ports import Vm

_VM = TypeAdapter(Vm)


class _VmList(BaseModel):
    vms: list[object]


class HttpVmList:
    """The platform's VM list over HTTP.

    Args:
        client: The client to call the platform with.

    Attributes:
        malformed: How many entries were left out because they were malformed.

    Example:
        >>> HttpVmList(PlatformClient("http://127.0.0.1:1")).malformed
        0
    """

    def __init__(self, client: PlatformClient) -> None:
        self.client = client
        self.malformed = 0

    async def list_vms(self) -> tuple[Vm, ...]:
        """Lists VMs; may be seconds old.

        Returns:
            The well-formed entries, so that one bad entry costs no other.

        Raises:
            PlatformUnavailableError: The list did not answer.
        """
        answer = await self.client.call_accepted("GET", "/vms")
        try:
            listed = _VmList.model_validate_json(answer)
        except ValidationError as error:
            raise make_malformed_error(error) from error
        vms = (self._read_vm(entry) for entry in listed.vms)
        return tuple(vm for vm in vms if vm is not None)

    def _read_vm(self, entry: object) -> Vm | None:
        try:
            return _VM.validate_json(json.dumps(entry))
        except ValidationError:
            self.malformed += 1
            return None
