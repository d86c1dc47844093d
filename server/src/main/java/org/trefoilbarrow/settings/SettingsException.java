package org.trefoilbarrow.settings;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;

/** A settings file has mistakes. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient ImmutableList<SettingsError> errors;

  /** Creates an exception for all mistakes of a file. */
  public SettingsException(ImmutableList<SettingsError> errors) {
    super(Joiner.on('\n').join(errors));
    this.errors = errors;
  }

  /** Returns the mistakes. */
  public ImmutableList<SettingsError> errors() {
    return errors;
  }
}
