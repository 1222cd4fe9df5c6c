Feature: Notices act at once and give way to the document

  Events: "out#5" is a notice of number 5 that takes domain a out, "in#6" one that brings it back,
  "withdraw#7" one that withdraws v1, "doc:out" a revision with the domain out, "doc:in" one with
  the domain in, "doc:withdrawn" one with v1 withdrawn, "doc:same" a revision without a change.

  Scenario Outline: What is closed after a series of notices and revisions
    Given notices and revisions "<events>"
    Then what is closed by them is <closed>

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

  Scenario: A process that has just started takes the notices in force from a peer
    Given notices and revisions "out#5 withdraw#7 doc:withdrawn"
    Then a new process is handed "domain_out" only

  Scenario: A quarantine notice bans a digest
    Given a notice that digest "x" crashed 2 upstreams
    Then digest "x" is refused for good, and the same notice is not new
