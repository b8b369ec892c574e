package org.hickorypier.acceptance.intake;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.hickorypier.platform.http.ServiceAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Many clients that send requests of legal size and stay connected. Of four, one sends a whole
 * request and three stop one to three bytes short of its end.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class UnrulyClientsTest {

  private static final int CLIENTS = 600;
  private static final int VARIANTS = 12;
  private static final int MISSING_BYTES = 4;
  private static final int PIECE_BYTES = 16_000;
  private static final int WHOLE = Integer.MAX_VALUE;
  private static final String SUCCESS = "HTTP/1.1 200";

  private CrowdedInstance instance;

  @BeforeEach
  void start() throws Exception {
    instance = new CrowdedInstance();
  }

  @AfterEach
  void end() throws Exception {
    instance.close();
  }

  /** Guards against header objects that take a multiple of the bytes on the wire. */
  @Test
  void instanceOutlivesManyShortHeaderLines() throws Exception {
    assertOutlives(instance.front(), LegalRequests::shortHeaderLines, WHOLE);
  }

  /** Guards against the same at the listener for readiness checks. */
  @Test
  void instanceOutlivesManyShortHeaderLinesOfReadinessChecks() throws Exception {
    assertOutlives(instance.ready(), LegalRequests::shortHeaderLines, WHOLE);
  }

  /** Guards against bodies in memory without a limit on all of them together. */
  @Test
  void instanceOutlivesLargeBodiesAtOnce() throws Exception {
    assertOutlives(instance.front(), LegalRequests::largeBody, WHOLE);
  }

  /** Guards against the same where all bodies grow side by side. */
  @Test
  void instanceOutlivesLargeBodiesPieceByPiece() throws Exception {
    assertOutlives(instance.front(), LegalRequests::largeBody, PIECE_BYTES);
  }

  /** Guards against chunked bodies in memory without a limit on all of them together. */
  @Test
  void instanceOutlivesBodiesInLargeChunks() throws Exception {
    assertOutlives(instance.front(), LegalRequests::largeChunks, PIECE_BYTES);
  }

  /** Guards against the same with chunks of a few bytes. */
  @Test
  void instanceOutlivesBodiesInSmallChunks() throws Exception {
    assertOutlives(instance.front(), LegalRequests::smallChunks, PIECE_BYTES);
  }

  /** Guards against requests that are decoded long before their turn. */
  @Test
  void instanceOutlivesRequestsInSeries() throws Exception {
    assertOutlives(instance.front(), LegalRequests::requestsInSeries, WHOLE);
  }

  /** Guards against clients that take all descriptors and send nothing. */
  @Test
  @Tag("known-red")
  void instanceKeepsDescriptorsBesideClientsThatSendNothing() throws Exception {
    assertOutlives(instance.front(), variant -> new byte[0], WHOLE);
  }

  /** Guards against limits that a single request of legal size meets. */
  @Test
  void singleRequestOfLegalSizeIsServed() {
    assertThat(instance.statusLine(LegalRequests.shortHeaderLines(1))).startsWith(SUCCESS);
    assertThat(instance.statusLine(LegalRequests.largeBody(1))).startsWith(SUCCESS);
    assertThat(instance.statusLine(LegalRequests.largeChunks(2))).startsWith(SUCCESS);
    assertThat(instance.statusLine(LegalRequests.smallChunks(3))).startsWith(SUCCESS);
  }

  private void assertOutlives(ServiceAddress server, IntFunction<byte[]> request, int pieceBytes)
      throws Exception {
    byte[][] variants = new byte[VARIANTS][];
    Arrays.setAll(variants, variant -> withoutEnd(request.apply(variant), variant));
    try (Crowd crowd = new Crowd(server, CLIENTS)) {
      crowd.send(client -> variants[client % VARIANTS], pieceBytes);
      instance.awaitReading(server.port());
      instance.assertWithinLimits();
      instance.assertAnswersOrdinaryRequest();
      instance.assertWithinLimits();
    }
  }

  private static byte[] withoutEnd(byte[] request, int variant) {
    return Arrays.copyOf(request, Math.max(0, request.length - variant % MISSING_BYTES));
  }
}
