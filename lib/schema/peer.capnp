@0x9d3c1b7f52e84a06;
# Calls between instances. A connection reaches this interface only after the handshake described
# in lib/src/peer.rs, so an unknown peer cannot call anything.
#
# The `Data` fields hold postcard records, which are the same bytes as on disk where a record is
# stored. Generate lib/src/peer_capnp.rs from lib/schema with:
#
#   capnp compile -orust:../src peer.capnp

interface Peer {
  poll @0 (request :Data) -> (response :Data);
  # Asks for news of the view; the answer is delayed while there are none.

  deliver @1 (message :Data) -> ();
  # Hands over a message of the replication core.

  submit @2 (request :Data) -> (response :Data);
  # Submits a command to the leader.

  join @3 (request :Data) -> (response :Data);
  # Asks to become a voter, which an instance does when its data folder is new.
}
