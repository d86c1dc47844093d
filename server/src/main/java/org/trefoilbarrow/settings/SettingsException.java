package org.trefoilbarrow.settings;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;

/** Thrown if settings are invalid; carries all errors of the file. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient ImmutableList<SettingsError> errors;

  /** Creates an exception for all errors of a file. */
  public SettingsException(ImmutableList<SettingsError> errors) {
    super(Joiner.on('\n').join(errors));
    this.errors = errors;
  }

  /** Returns the errors. */
  public ImmutableList<SettingsError> errors() {
    return errors;
  }
}
