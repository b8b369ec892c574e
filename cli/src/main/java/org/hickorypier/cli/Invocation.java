package org.hickorypier.cli;

import java.util.List;
import java.util.Optional;
import org.hickorypier.cli.client.ServerAddress;

/**
 * What one call of hickory asks for. Immutable.
 *
 * @param servers the servers in the order in which they are tried
 * @param key the operator's key, empty if none was given
 * @param format how results are printed
 * @param waiting whether to wait until a change is in force
 * @param keepGoing whether a script goes on after an error
 * @param watching whether a query is repeated
 * @param changeId the id of an earlier try of the same change, if given
 * @param words the statement, or help with its argument; empty for a script or the prompt
 */
record Invocation(
    List<ServerAddress> servers,
    String key,
    OutputFormat format,
    boolean waiting,
    boolean keepGoing,
    boolean watching,
    Optional<String> changeId,
    List<String> words) {

  @Override
  public String toString() {
    return "Invocation[servers=" + servers + ", words=" + words + "]";
  }
}
