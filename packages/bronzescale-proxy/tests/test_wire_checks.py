"""What a peer sends becomes a message only if every field of it can be used."""

import testtools

from bronzescale_core.membership import Rumor, Status
from bronzescale_core.rendezvous import Node
from bronzescale_proxy import wire

HOST = Node("n1", "10.0.0.1:7440", "a", "north", 5)
ODD_HOSTS = (
    HOST._replace(name=""),
    HOST._replace(name="n" * 300),
    HOST._replace(address="nowhere"),
    HOST._replace(address="10.0.0.1:99999"),
    HOST._replace(address="10.0.0.1:\u0661"),
    HOST._replace(zone=""),
    HOST._replace(region="a\nb"),
    HOST._replace(incarnation=-1),
    HOST._replace(incarnation=2**63 - 1),
    HOST._replace(admin_address="nowhere"),
)


def decode(message):
    return wire.decode(wire.encode(1, message, 0)[wire.HEADER.size :], 0)[1]


class RumorTest(testtools.TestCase):
    # Guards against one odd rumor that spreads through the fleet by itself.
    def test_odd_rumors_are_left_out_and_reported(self):
        rumors = [Rumor(HOST, Status.LEAVING)]
        rumors += [Rumor(node, Status.ALIVE) for node in ODD_HOSTS]
        heartbeat = decode(wire.Heartbeat("n2", 7, Status.ALIVE, 0, rumors, (1, 2)))
        self.assertEqual(rumors[:1], heartbeat.rumors)
        self.assertEqual(len(ODD_HOSTS), len(heartbeat.unreadable))

    def test_rumor_of_an_unknown_status_costs_only_itself(self):
        heartbeat = decode(
            wire.Heartbeat("n2", 7, Status.ALIVE, 0, [Rumor(HOST, 9)], (1, 2))
        )
        self.assertEqual([], heartbeat.rumors)
        self.assertEqual("'n1'", heartbeat.unreadable[0].name)
