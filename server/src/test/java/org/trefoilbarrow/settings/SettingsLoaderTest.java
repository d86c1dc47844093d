package org.trefoilbarrow.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class SettingsLoaderTest {
  private static final String DIGEST = "a".repeat(64);
  private static final String VALID =
      """
      {
        // A comment.
        "host": {"name": "host-1", "failureDomain": "north"},
        "platform": {"address": "http://127.0.0.1:9000"},
        "operators": {"keyDigests": ["DIGEST"]}
      }
      """
          .replace("DIGEST", DIGEST);

  @Test
  public void parse_usesDefaultsForMissingValues() {
    Settings settings = SettingsLoader.parse("test", VALID);
    assertEquals(settings.host().name(), "host-1");
    assertEquals(settings.shares().count(), 12);
  }

  @DataProvider
  public Object[][] invalidSettings() {
    return new Object[][] {
      // Replaced text, replacement, line of the error, text that the message must contain.
      {"\"host-1\"", "\"Host 1\"", 3, "/host/name"},
      {"\"host-1\"", "7", 3, "/host/name"},
      {"\"name\": \"host-1\", ", "", 3, "name"},
      {"\"north\"", "true", 3, "/host/failureDomain"},
      {"\"north\"", "\"north\", \"callerPort\": 0", 3, "/host/callerPort"},
      {"\"north\"", "\"north\", \"callerPort\": 70000", 3, "/host/callerPort"},
      {"\"north\"", "\"north\", \"callerPort\": \"8080\"", 3, "/host/callerPort"},
      {"\"north\"", "\"north\", \"callerport\": 8080", 3, "callerport"},
      {"\"north\"", "\"north\", \"address\": \"example.org\"", 3, "/host/address"},
      {"http://127.0.0.1:9000", "ftp://127.0.0.1", 4, "/platform/address"},
      {"9000\"}", "9000\", \"timeoutMillis\": 1}", 4, "/platform/timeoutMillis"},
      {"9000\"}", "9000\", \"callsPerSecond\": -1}", 4, "/platform/callsPerSecond"},
      {"9000\"}", "9000\", \"timeoutMillis\": 2.5}", 4, "/platform/timeoutMillis"},
      {DIGEST, "short", 5, "/operators/keyDigests/0"},
      {"[\"" + DIGEST + "\"]", "[]", 5, "/operators/keyDigests"},
      {"\"operators\"", "\"operator\"", 5, "operator"},
      {"]}\n", "]}, \"shares\": {\"count\": 0}\n", 5, "/shares/count"},
      {"]}\n", "]}, \"logging\": {\"level\": \"loud\"}\n", 5, "/logging/level"},
      {"]}\n", "]}, \"batch\": {\"concurrentItems\": null}\n", 5, "/batch/concurrentItems"},
      {"]}\n", "]}, \"shares\": {\"loanMillis\": 5000}\n", 0, "/shares/loanMillis"},
      {"]}\n", "]}, \"shares\": {\"claimWaitMillis\": 600}\n", 0, "/shares/claimWaitMillis"},
      {"]}\n", "]}, \"host\": {}\n", 5, ""},
      // The text ends with a line feed, so the error at its end is on the line after the last.
      {"]}\n", "]\n", 7, ""},
    };
  }

  @Test(dataProvider = "invalidSettings")
  public void parse_rejectsInvalidSettingsWithLineAndPath(
      String replaced, String replacement, int line, String expectedText) {
    String text = VALID.replace(replaced, replacement);
    SettingsException exception =
        expectThrows(SettingsException.class, () -> SettingsLoader.parse("test", text));
    SettingsError error = exception.errors().get(0);
    assertEquals(error.line(), line, error.toString());
    assertTrue(error.toString().contains(expectedText), error.toString());
  }

  @DataProvider
  public Object[][] unreadableFiles() throws IOException {
    Path folder = Files.createTempDirectory("settings");
    Path notText = Files.write(folder.resolve("not-text.json"), new byte[] {(byte) 0xff});
    return new Object[][] {
      {folder.resolve("absent.json"), "does not exist"},
      {folder, "is not readable"},
      {notText, "is not readable"},
    };
  }

  @Test(dataProvider = "unreadableFiles")
  public void load_reportsAFileThatCannotBeRead(Path file, String expectedText) {
    SettingsException exception =
        expectThrows(SettingsException.class, () -> SettingsLoader.load(file));
    assertTrue(exception.getMessage().contains(file.toString()), exception.getMessage());
    assertTrue(exception.getMessage().contains(expectedText), exception.getMessage());
  }

  @Test
  public void parse_reportsAllErrorsAtOnce() {
    String text = VALID.replace("host-1", "Host").replace("9000", "x").replace(DIGEST, "y");
    SettingsException exception =
        expectThrows(SettingsException.class, () -> SettingsLoader.parse("test", text));
    assertEquals(exception.errors().size(), 3, exception.getMessage());
  }
}
