"""What a gateway knows: replicas of the store's tables, and the state of upstreams."""
