package org.trefoilbarrow.transport.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RequestJob;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.protocol.RequestJob.Result;
import org.trefoilbarrow.protocol.RequestJob.ResultPart;
import org.trefoilbarrow.state.FaultyPlatform;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.WriteOutcome;

public final class RequestJobStoreTest {
  private static final int MAX_OBJECT_BYTES = 16_384;
  private static final int TEXT_LENGTH = 9_000;
  private static final JobId JOB = JobId.of("j");

  private FaultyPlatform platform;
  private RequestJobStore store;

  @BeforeMethod
  public void createStore() {
    platform = new FaultyPlatform(1);
    store = new RequestJobStore(platform, MAX_OBJECT_BYTES);
  }

  /** Each row: a text whose letters take more than a byte in an object. */
  @DataProvider
  public Object[][] letters() {
    return new Object[][] {
      {"a"}, {"ө"}, {"日"}, {"\""}, {"\\"}, {"\n"}, {"\u0001"}, {"𝄞"}, {"a𝄞"}
    };
  }

  /** Sizes were counted in characters, and objects of other letters were too large. */
  @Test(dataProvider = "letters")
  public void create_splitsJobIntoObjectsThatThePlatformAccepts(String letter) {
    RequestJob job = job(Strings.repeat(letter, TEXT_LENGTH));
    assertTrue(store.create(job, 1).isApplied());
    assertAccepted();
    assertEquals(store.read(job.id()).orElseThrow(), job);
  }

  /** A limit below the one of the settings is found by the refusals. */
  @Test
  public void create_usesSmallerObjectsWhenThePlatformRefusesThem() {
    platform.setMaxLength(MAX_OBJECT_BYTES / 3);
    RequestJob job = job(Strings.repeat("a", 2 * TEXT_LENGTH));
    assertTrue(store.create(job, 1).isApplied());
    assertEquals(store.read(job.id()).orElseThrow(), job);
    Result result = new Result("i", true, Strings.repeat("a", 100));
    long results = store.maxResultBytes() / RequestJobStore.resultBytes(result);
    ResultPart part = new ResultPart("author", Collections.nCopies((int) results, result));
    assertTrue(store.createPart(JOB, 0, part, 1).isApplied());
  }

  private static RequestJob job(String text) {
    return new RequestJob(
        JOB,
        OrganisationId.of("o"),
        "h.example",
        "/p/",
        1,
        ImmutableList.of(new JobItem("i", "/p/1", ImmutableMap.of("X-Text", text), "")));
  }

  @Test(dataProvider = "letters")
  public void createPart_writesNoMoreResultsThanThePlatformAccepts(String letter) {
    Result result = new Result("i", true, Strings.repeat(letter, 200));
    List<Result> results = new ArrayList<>();
    long bytes = RequestJobStore.resultBytes(result);
    for (long total = bytes; total <= store.maxResultBytes(); total += bytes) {
      results.add(result);
    }
    WriteOutcome outcome = store.createPart(JOB, 0, new ResultPart("author", results), 1);
    assertTrue(outcome.isApplied());
    assertAccepted();
    assertEquals(store.readPart(JOB, 0).orElseThrow().results(), results);
  }

  /** Checks the objects in the form of a platform that keeps values as text inside its own JSON. */
  private void assertAccepted() {
    for (ObjectKind kind : ObjectKind.values()) {
      for (VersionedObject object : platform.list(kind, "", "", Integer.MAX_VALUE).objects()) {
        int bytes = JsonCodec.encode(object.value()).getBytes(UTF_8).length;
        assertTrue(bytes < MAX_OBJECT_BYTES, kind + " of " + bytes + " bytes");
      }
    }
  }
}
