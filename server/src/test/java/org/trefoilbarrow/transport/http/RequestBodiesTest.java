package org.trefoilbarrow.transport.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayInputStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ServiceException;

public final class RequestBodiesTest {
  private static final int LIMIT = 100;

  @DataProvider
  public Object[][] lengths() {
    return new Object[][] {{0}, {1}, {LIMIT}};
  }

  @Test(dataProvider = "lengths")
  public void read_returnsBodyUpToTheLimit(int length) {
    byte[] body = RequestBodies.read(new ByteArrayInputStream(new byte[length]), LIMIT);
    assertEquals(body.length, length);
  }

  @DataProvider
  public Object[][] excessiveLengths() {
    return new Object[][] {{LIMIT + 1}, {LIMIT + 2}, {2_000_000}};
  }

  /** What is left unread resets the connection, and the caller loses the refusal. */
  @Test(dataProvider = "excessiveLengths")
  public void read_refusesLongerBodyAndReadsItToItsEnd(int length) {
    ByteArrayInputStream body = new ByteArrayInputStream(new byte[length]);
    ServiceException refusal =
        expectThrows(ServiceException.class, () -> RequestBodies.read(body, LIMIT));
    assertEquals(refusal.kind(), ErrorKind.BODY_TOO_LARGE);
    assertEquals(body.available(), 0);
  }
}
