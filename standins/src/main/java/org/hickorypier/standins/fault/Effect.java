package org.hickorypier.standins.fault;

/**
 * What a call does to a stand-in.
 *
 * @param <T> the result's type
 */
@FunctionalInterface
public interface Effect<T> {

  /**
   * Does it.
   *
   * @return the result
   * @throws Exception if the stand-in refuses
   */
  T run() throws Exception;
}
