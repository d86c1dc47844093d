package org.trefoilbarrow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.HttpResponse;
import com.openai.core.http.StreamResponse;
import com.openai.models.batches.Batch;
import com.openai.models.batches.BatchCreateParams;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import com.openai.models.files.FileCreateParams;
import com.openai.models.files.FileObject;
import com.openai.models.files.FilePurpose;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.standins.EngineProfile;

/** Tests the API for callers and operators with hosts that run as processes of their own. */
public final class CallerApiTest {
  private Fleet fleet;

  @BeforeClass
  public void startFleet() {
    fleet =
        Fleet.start(
            2,
            EngineProfile.echo(ImmutableList.of("echo")),
            new EngineProfile(ImmutableList.of("echo", "slow"), 64, 2, 100, 64, 0, 500));
    fleet.configure(OrganisationSpec.of(500, 500));
  }

  @AfterClass(alwaysRun = true)
  public void stopFleet() {
    fleet.close();
  }

  private OpenAIClient publishedClient() {
    return OpenAIOkHttpClient.builder()
        .baseUrl(fleet.host(0).address() + "/v1")
        .apiKey(Fleet.CALLER_KEY)
        .build();
  }

  private static ChatCompletionCreateParams chatParams() {
    return ChatCompletionCreateParams.builder()
        .model(Fleet.MODEL)
        .maxCompletionTokens(4)
        .addUserMessage("one two three four")
        .build();
  }

  @Test
  public void publishedClient_chats() {
    ChatCompletion response = publishedClient().chat().completions().create(chatParams());
    assertEquals(response.choices().get(0).message().content().orElseThrow(), "one two three four");
  }

  @Test
  public void publishedClient_streams() {
    try (StreamResponse<ChatCompletionChunk> stream =
        publishedClient().chat().completions().createStreaming(chatParams())) {
      String text =
          stream.stream()
              .flatMap(chunk -> chunk.choices().stream())
              .flatMap(choice -> choice.delta().content().stream())
              .collect(Collectors.joining());
      assertEquals(text, "one two three four");
    }
  }

  @Test
  public void publishedClient_runsBatch() throws IOException {
    Path items = Files.createTempFile("items", ".jsonl");
    Files.writeString(
        items,
        ApiClient.item("a", "alpha", 1)
            + ApiClient.item("b", "impossible item", 1)
            + ApiClient.item("c", "gamma", 1));
    OpenAIClient client = publishedClient();
    FileObject file =
        client
            .files()
            .create(FileCreateParams.builder().file(items).purpose(FilePurpose.BATCH).build());
    Batch submitted =
        client
            .batches()
            .create(
                BatchCreateParams.builder()
                    .inputFileId(file.id())
                    .endpoint(BatchCreateParams.Endpoint.V1_CHAT_COMPLETIONS)
                    .completionWindow(BatchCreateParams.CompletionWindow._24H)
                    .build());
    Eventually.that(
        "batch completes",
        () -> client.batches().retrieve(submitted.id()).status().equals(Batch.Status.COMPLETED));
    Batch ended = client.batches().retrieve(submitted.id());
    assertEquals(ended.requestCounts().orElseThrow().completed(), 2);
    assertEquals(ended.requestCounts().orElseThrow().failed(), 1);
    assertEquals(lines(client, ended.outputFileId().orElseThrow()), 2);
    assertEquals(lines(client, ended.errorFileId().orElseThrow()), 1);
  }

  private static long lines(OpenAIClient client, String fileId) throws IOException {
    try (HttpResponse content = client.files().content(fileId)) {
      return new String(content.body().readAllBytes(), StandardCharsets.UTF_8).lines().count();
    }
  }

  @DataProvider
  public Object[][] refusedCalls() {
    String chat = "/v1/chat/completions";
    String valid = ApiClient.chatBody("hello", 1, false);
    return new Object[][] {
      // Key, method, path, body, status, code.
      {"", "POST", chat, valid, 401, "invalid_key"},
      {"wrong", "POST", chat, valid, 401, "invalid_key"},
      {"wrong", "POST", chat, valid.replace(Fleet.MODEL, "absent"), 401, "invalid_key"},
      {Fleet.OPERATOR_KEY, "POST", chat, valid, 401, "invalid_key"},
      {Fleet.CALLER_KEY, "POST", chat, "{", 400, "invalid_request"},
      {Fleet.CALLER_KEY, "POST", chat, "[]", 400, "invalid_request"},
      {Fleet.CALLER_KEY, "POST", chat, valid.replace(Fleet.MODEL, "absent"), 404, "not_found"},
      {Fleet.CALLER_KEY, "POST", chat, valid.replace(Fleet.MODEL, "labels"), 404, "not_found"},
      {Fleet.CALLER_KEY, "POST", chat, "x".repeat(2_000_000), 413, "body_too_large"},
      {Fleet.CALLER_KEY, "GET", "/v1/models/absent", "", 404, "not_found"},
      {Fleet.CALLER_KEY, "GET", "/v1/absent", "", 404, "not_found"},
      {Fleet.CALLER_KEY, "GET", "/services/absent/x", "", 404, "not_found"},
      {Fleet.OTHER_KEY, "POST", "/services/certificates/certificates", "{}", 403, "not_permitted"},
      {"wrong", "POST", "/services/certificates/certificates", "{}", 401, "invalid_key"},
      {"wrong", "GET", "/services/labels/x", "", 401, "invalid_key"},
      {Fleet.CALLER_KEY, "GET", "/v1/files/absent", "", 404, "not_found"},
      {Fleet.CALLER_KEY, "GET", "/v1/batches/absent", "", 404, "not_found"},
      {Fleet.CALLER_KEY, "POST", "/v1/batches/absent/cancel", "{}", 404, "not_found"},
      {Fleet.CALLER_KEY, "POST", "/v1/batches", "{\"input_file_id\":\"absent\"}", 404, "not_found"},
      {
        Fleet.CALLER_KEY,
        "POST",
        "/v1/batches",
        "{\"endpoint\":\"/v1/absent\"}",
        400,
        "invalid_request"
      },
      {Fleet.CALLER_KEY, "GET", "/admin/v1/keys", "", 401, "invalid_key"},
      {"", "GET", "/admin/v1/status", "", 401, "invalid_key"},
    };
  }

  @Test(dataProvider = "refusedCalls")
  public void call_isRefusedWithStatusAndCode(
      String key, String method, String path, String body, int status, String code) {
    ApiClient client = new ApiClient(fleet.host(0).address(), key);
    ApiClient.Response response = method.equals("GET") ? client.get(path) : client.post(path, body);
    assertEquals(response.status(), status, response.body());
    assertEquals(response.errorCode(), code);
    assertTrue(response.isNotRun(), response.body());
    assertFalse(response.json().path("error").path("request_id").asText().isEmpty());
  }

  @DataProvider
  public Object[][] refusedAdministration() {
    String organisation = "{\"requestsPerSecond\":1,\"burst\":1}";
    String absent = "If-None-Match";
    return new Object[][] {
      // Method, path, body, header, its value, status, code.
      {"PUT", "organisations/new", organisation, "X-None", "", 428, "precondition_required"},
      {"PUT", "organisations/new", organisation, "If-Match", "x", 400, "invalid_request"},
      {"PUT", "organisations/new", organisation, "If-Match", "\"99\"", 409, "version_conflict"},
      {"PUT", "organisations/workshop", organisation, absent, "*", 409, "version_conflict"},
      {"PUT", "organisations/New", organisation, absent, "*", 400, "invalid_request"},
      {"PUT", "absent/new", organisation, absent, "*", 404, "not_found"},
      {
        "PUT",
        "organisations/new",
        "{\"requestsPerSecond\":0,\"burst\":1}",
        absent,
        "*",
        400,
        "invalid_request"
      },
      {
        "PUT",
        "organisations/new",
        "{\"requestsPerSecond\":1,\"burst\":-1}",
        absent,
        "*",
        400,
        "invalid_request"
      },
      {
        "PUT",
        "organisations/new",
        "{\"requestsPerSecond\":\"x\",\"burst\":1}",
        absent,
        "*",
        400,
        "invalid_request"
      },
      {"PUT", "organisations/new", "{\"rate\":1}", absent, "*", 400, "invalid_request"},
      {"PUT", "organisations/new", "[]", absent, "*", 400, "invalid_request"},
      {
        "PUT",
        "keys/new",
        "{\"organisation\":\"absent\",\"digest\":\"" + "a".repeat(64) + "\"}",
        absent,
        "*",
        400,
        "invalid_request"
      },
      {
        "PUT",
        "keys/new",
        "{\"organisation\":\"workshop\",\"digest\":\"a\"}",
        absent,
        "*",
        400,
        "invalid_request"
      },
      {
        "PUT",
        "routes/new",
        "{\"type\":\"absent\",\"target\":\"echo\"}",
        absent,
        "*",
        400,
        "invalid_request"
      },
      {
        "PUT",
        "routes/new",
        "{\"type\":\"model\",\"target\":\"echo\",\"organisations\":[\"absent\"]}",
        absent,
        "*",
        400,
        "invalid_request"
      },
      {
        "PUT",
        "backend-servers/new",
        "{\"address\":\"http://127.0.0.1:1\",\"failureDomain\":\"absent\",\"serves\":[],"
            + "\"permits\":1}",
        absent,
        "*",
        400,
        "invalid_request"
      },
      {
        "PUT",
        "backend-servers/new",
        "{\"address\":\"http://127.0.0.1:1\",\"failureDomain\":\"north\",\"serves\":[],"
            + "\"permits\":1,\"coldPermits\":2}",
        absent,
        "*",
        400,
        "invalid_request"
      },
      {
        "PUT",
        "batch-rules/new",
        "{\"organisation\":\"absent\",\"maxItemsPerJob\":1}",
        absent,
        "*",
        400,
        "invalid_request"
      },
      {"DELETE", "organisations/workshop", "", "If-Match", "\"1\"", 409, "in_use"},
      {"DELETE", "organisations/absent", "", "If-Match", "\"1\"", 409, "version_conflict"},
      {"DELETE", "organisations/workshop", "", "X-None", "", 428, "precondition_required"},
      {"GET", "organisations/absent", "", "X-None", "", 404, "not_found"},
      {
        "POST",
        "keys/workshop-key/issue",
        "{\"organisation\":\"workshop\"}",
        "X-None",
        "",
        409,
        "version_conflict"
      },
      {"POST", "keys/new/issue", "{}", "X-None", "", 400, "invalid_request"},
    };
  }

  @Test(dataProvider = "refusedAdministration")
  public void administration_isRefused(
      String method,
      String path,
      String body,
      String header,
      String headerValue,
      int status,
      String code) {
    ApiClient operator = fleet.operator(0);
    String fullPath = "/admin/v1/" + path;
    ApiClient.Response response =
        switch (method) {
          case "PUT" -> operator.put(fullPath, body, header, headerValue);
          case "DELETE" -> operator.delete(fullPath, header, headerValue);
          case "POST" -> operator.post(fullPath, body, header, headerValue);
          default -> operator.get(fullPath);
        };
    assertEquals(response.status(), status, response.body());
    assertEquals(response.errorCode(), code);
  }

  @DataProvider
  public Object[][] invalidLines() {
    String good = ApiClient.item("a", "x", 1);
    return new Object[][] {
      {good + "{\n", "line 2"},
      {good + good, "line 2"},
      {good + "\n" + good.replace("\"a\"", "\"b\"").replace("POST", "GET"), "line 3"},
      {good.replace("custom_id", "customId"), "line 1"},
      {good + good.replace("\"a\"", "\"b\"").replace("chat", "absent"), "line 2"},
      {good.replace("model", "modell"), "line 1"},
      {"", "no lines"},
    };
  }

  @Test(dataProvider = "invalidLines")
  public void upload_isRejectedWithTheNumberOfTheInvalidLine(String content, String expectedText) {
    ApiClient.Response response = fleet.caller(0).upload(content);
    assertEquals(response.status(), 400, response.body());
    assertTrue(response.body().contains(expectedText), response.body());
  }

  @Test
  public void streamedTokensArriveBeforeGenerationEnds() throws IOException {
    String spec = "{\"type\":\"model\",\"target\":\"slow\"}";
    fleet.operator(0).put("/admin/v1/routes/slow", spec, "If-None-Match", "*");
    String server =
        "{\"address\":\"%s\",\"failureDomain\":\"north\",\"serves\":[\"slow\"],\"permits\":8}";
    fleet
        .operator(0)
        .put(
            "/admin/v1/backend-servers/slow",
            String.format(server, fleet.engine(1).address()),
            "If-None-Match",
            "*");
    String body = ApiClient.chatBody("slow words", 30, true).replace(Fleet.MODEL, "slow");
    try (InputStream stream = fleet.caller(0).stream(body)) {
      byte[] first = stream.readNBytes(16);
      assertTrue(new String(first, StandardCharsets.UTF_8).startsWith("data: "));
      assertFalse(fleet.engine(1).completions().containsKey("slow words"));
      String rest = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(rest.endsWith("data: [DONE]\n\n"), rest);
    }
  }

  @Test
  public void backendServersNeverSeeTheCallersKey() {
    assertEquals(fleet.caller(1).chat("secret", 1).status(), 200);
    assertEquals(fleet.caller(1).get("/services/labels/bolt?size=3").status(), 200);
    assertEquals(fleet.engine(0).authorizationHeaders(), 0);
    assertEquals(fleet.engine(1).authorizationHeaders(), 0);
    String labels = new ApiClient(fleet.host(0).address(), "").get("/services/labels/x").body();
    assertTrue(labels.contains("/x"), labels);
  }

  @Test
  public void repeatedSubmissionWithSameIdempotencyKeyReturnsSameJob() {
    String items = ApiClient.item("a", "again", 1);
    String file = fleet.caller(0).upload(items).json().path("id").asText();
    String body = "{\"input_file_id\":\"" + file + "\"}";
    String other = "{\"input_file_id\":\"" + file + "\",\"completion_window\":\"1h\"}";
    ApiClient.Response first =
        fleet.caller(0).post("/v1/batches", body, "Idempotency-Key", "resend");
    ApiClient.Response second =
        fleet.caller(1).post("/v1/batches", body, "Idempotency-Key", "resend");
    ApiClient.Response third =
        fleet.caller(1).post("/v1/batches", other, "Idempotency-Key", "resend");
    assertEquals(second.json().path("id"), first.json().path("id"));
    assertEquals(third.errorCode(), "idempotency_key_reused");
  }
}
