"""What gateways tell each other: gossip, membership and copies of tables."""
