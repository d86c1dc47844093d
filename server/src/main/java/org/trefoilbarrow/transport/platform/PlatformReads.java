package org.trefoilbarrow.transport.platform;

import java.util.function.Supplier;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.PlatformException;

/** Reads of the platform on behalf of callers. */
public final class PlatformReads {
  private PlatformReads() {}

  /**
   * Returns the result of a read.
   *
   * @throws ServiceException if the platform does not answer
   */
  public static <T> T answerOf(Supplier<T> read) {
    try {
      return read.get();
    } catch (PlatformException e) {
      throw new ServiceException(ErrorKind.PLATFORM_UNAVAILABLE, e, "the platform does not answer");
    }
  }
}
