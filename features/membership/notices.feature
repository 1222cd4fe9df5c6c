Feature: Notices take effect at once and are superseded by the document

  Events: "out#5" is a notice with number 5 that takes domain a out of service, "in#6" a
  notice that puts it back into service, "withdraw#7" a notice that withdraws v1, "doc:out" a
  revision with the domain out of service, "doc:in" a revision with the domain in service,
  "doc:withdrawn" a revision with v1 withdrawn and "doc:same" a revision without a change.

  Scenario Outline: Whether the domain or the version is closed to new requests after a series of notices and revisions
    Given notices and revisions "<events>"
    Then <closed> is closed to new requests

    Examples:
      | events                             | closed  |
      | out#5                              | domain  |
      | out#5 in#6                         | nothing |
      | in#6 out#5                         | nothing |
      | out#5 out#5 in#5                   | domain  |
      | out#5 doc:same                     | domain  |
      | out#5 doc:out                      | domain  |
      | out#5 doc:out doc:in               | nothing |
      | out#5 doc:out doc:in out#5         | nothing |
      | out#5 doc:out doc:in out#6         | domain  |
      | out#5 doc:out in#6                 | domain  |
      | doc:out out#5 doc:in               | nothing |
      | withdraw#7                         | version |
      | withdraw#7 doc:same                | version |
      | withdraw#7 doc:withdrawn           | version |
      | withdraw#7 doc:withdrawn doc:same  | nothing |
      | other-out#5                        | nothing |

  Scenario: A process that has just started receives the notices in force from a peer
    Given notices and revisions "out#5 withdraw#7 doc:withdrawn"
    Then a new process receives only "domain_out" notices

  Scenario: A quarantine notice bans a digest
    Given a notice that digest "x" crashed 2 upstreams
    Then digest "x" is always refused, and the same notice is not new
