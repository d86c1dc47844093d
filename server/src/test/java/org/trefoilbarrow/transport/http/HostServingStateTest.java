package org.trefoilbarrow.transport.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ServiceException;

public final class HostServingStateTest {
  @DataProvider
  public Object[][] refusingStates() {
    return new Object[][] {
      // Whether the host is ready, stopped and isolated, and the error.
      {false, false, false, ErrorKind.HOST_NOT_READY},
      {false, false, true, ErrorKind.HOST_NOT_READY},
      {true, true, false, ErrorKind.SHUTTING_DOWN},
      {true, false, true, ErrorKind.HOST_ISOLATED},
    };
  }

  @Test(dataProvider = "refusingStates")
  public void checkServing_refusesWithTheKindOfTheState(
      boolean ready, boolean stopped, boolean isolated, ErrorKind kind) {
    HostServingState state = new HostServingState(() -> isolated, () -> true);
    if (ready) {
      state.setReady();
    }
    if (stopped) {
      state.setStopped();
    }
    ServiceException refusal = expectThrows(ServiceException.class, state::checkServing);
    assertEquals(refusal.kind(), kind);
  }

  @Test
  public void checkServing_acceptsOnceTheHostIsReady() {
    HostServingState state = new HostServingState(() -> false, () -> true);
    state.setReady();
    state.checkServing();
  }
}
