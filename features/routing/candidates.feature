Feature: Only open upstreams are candidates, and each placement is checked

  Scenario Outline: A promise closes an upstream to new work
    Given 6 upstreams of which u0 stands in a domain of its own
    When it happens that <change>
    Then u0 is <listed> and placing there breaks <promise>

    Examples:
      | change                        | listed     | promise                |
      | nothing changes               | listed     | nothing                |
      | the domain is out by notice   | not listed | domain d/a is out      |
      | the domain is out by revision | not listed | domain d/a is out      |
      | u0 is leaving                 | not listed | leaving                |
      | u0 drains                     | not listed | draining               |
      | u0 is down                    | not listed | down                   |
      | v1 is withdrawn by notice     | not listed | withdrawn              |
      | v1 is withdrawn by revision   | not listed | withdrawn              |
      | the customer may not use v1   | not listed | not allowed            |
      | u0 no longer serves v1        | not listed | does not serve         |
      | u0 is not in the subset       | not listed | nothing                |
      | the request avoids u0         | not listed | nothing                |
      | the request runs on u0        | not listed | nothing                |
      | all but u0 are avoided        | listed     | nothing                |
      | all are avoided               | listed     | nothing                |
      | the session keeps v2          | listed     | session keeps          |
      | the session keeps v1          | listed     | nothing                |
      | the digest is banned          | listed     | banned                 |
      | the deadline has passed       | listed     | deadline               |
      | the request is for a service  | listed     | nothing                |
      | it is for an unknown service  | not listed | does not serve         |

  Scenario Outline: Failing upstreams are ejected, but never more than half
    Given 6 upstreams of which <n> failed <k> times in a row <ago> s ago
    Then <left> are listed

    Examples:
      | n | k  | ago  | left |
      | 1 | 2  | 0    | 6    |
      | 1 | 3  | 0    | 5    |
      | 1 | 3  | 0.4  | 5    |
      | 1 | 3  | 0.6  | 6    |
      | 1 | 5  | 1.9  | 5    |
      | 1 | 5  | 2.1  | 6    |
      | 1 | 40 | 29   | 5    |
      | 1 | 40 | 31   | 6    |
      | 3 | 9  | 0    | 3    |
      | 5 | 9  | 0    | 3    |
      | 6 | 9  | 0    | 3    |

  Scenario: After its ejection an upstream is tried by one attempt at a time
    Given 6 upstreams of which 1 failed 3 times in a row 0.6 s ago
    When an attempt starts on u0
    Then 5 are listed
    When that attempt is answered
    Then 6 are listed

  Scenario: A crash ejects at once
    Given 6 upstreams of which 0 failed 0 times in a row 0 s ago
    When u0 crashes
    Then 5 are listed
