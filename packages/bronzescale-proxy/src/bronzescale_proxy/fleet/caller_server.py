"""Accept callers and keep their connections."""

import math

import anyio

from bronzescale_proxy.fleet.front_end import CallerConnection
from bronzescale_proxy.fleet.streams import DISCONNECT_ERRORS


class CallerServer:
    """Accept callers and run their sessions.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.
    dispatcher : Dispatcher
        Runs statements.
    """

    def __init__(self, node, dispatcher):
        self.node = node
        self.dispatcher = dispatcher
        self._connections = set()
        self._is_closing_idle = False
        self._is_refusing = False
        # When statements of a stopping process must have ended.
        self.answer_by_ms = math.inf
        self._configuration = None
        self._names_routes = False
        node.configuration_listeners.append(self._apply_configuration)

    @property
    def open_count(self):
        """Return how many callers are connected."""
        return len(self._connections)

    @property
    def names_routes(self):
        """Return whether statements tell their owners the route that they came by."""
        configuration = self.node.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._names_routes = bool(configuration.customers) or any(
                route.priority == 0 for route in configuration.routes.values()
            )
        return self._names_routes

    def _apply_configuration(self):
        """Apply withdrawn keys to the sessions that wait for a statement."""
        for connection in list(self._connections):
            connection.apply_configuration()

    async def serve_stream(self, stream):
        """Serve one caller until it disconnects."""
        connection = CallerConnection(self, stream)
        self._connections.add(connection)
        self.node.metrics.set_callers(len(self._connections))
        try:
            await connection.run()
        except DISCONNECT_ERRORS:
            self.node.metrics.count_failure("caller_gone")
        finally:
            self._connections.discard(connection)
            self.node.metrics.set_callers(len(self._connections))
            with anyio.CancelScope(shield=True):
                await connection.roll_back_open()
                await anyio.aclose_forcefully(stream)

    @property
    def is_closing_idle(self):
        """Return whether sessions close as soon as they have no open transaction."""
        return self._is_closing_idle

    def close_idle_sessions(self):
        """Close idle sessions now and the others once they have no open transaction."""
        self._is_closing_idle = True
        for connection in list(self._connections):
            connection.close_if_idle()

    @property
    def is_refusing(self):
        """Return whether statements are refused instead of passed on."""
        return self._is_refusing

    def refuse_statements(self):
        """Refuse sessions and statements from now on, and roll back transactions.

        A statement that runs is answered first. Sessions that stay silent end soon.
        """
        self._is_refusing = True
        for connection in list(self._connections):
            connection.end_soon()
