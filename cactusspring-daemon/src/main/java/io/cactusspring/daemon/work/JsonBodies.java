package io.cactusspring.daemon.work;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import io.cactusspring.daemon.http.Refusal;
import io.cactusspring.daemon.http.RefusalReason;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;

/** Reads JSON request bodies, rejecting unknown fields, and writes JSON responses. */
final class JsonBodies {
  private static final ObjectMapper JSON =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, true);

  private JsonBodies() {}

  /** Thrown when a body is malformed or has invalid values; carries the refusal to send. */
  static final class InvalidBodyException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    InvalidBodyException(RefusalReason reason, String message) {
      super(message);
      this.refusal = Refusal.of(reason, message);
    }

    Refusal refusal() {
      return refusal;
    }
  }

  /**
   * Reads the body of a request.
   *
   * @throws InvalidBodyException if the body is empty, malformed or invalid; the message gives the
   *     line, where known, and the problem
   */
  static <T> T read(RoutingContext ctx, Class<T> type) throws InvalidBodyException {
    Buffer body = ctx.body().buffer();
    if (body == null || body.length() == 0) {
      throw new InvalidBodyException(RefusalReason.MALFORMED_BODY, "body is empty; expected JSON");
    }
    try {
      return JSON.readValue(body.getBytes(), type);
    } catch (ValueInstantiationException e) {
      String cause = e.getCause() == null ? e.getOriginalMessage() : e.getCause().getMessage();
      throw new InvalidBodyException(RefusalReason.INVALID_VALUE, withLineNumber(e, cause));
    } catch (JsonMappingException e) {
      throw new InvalidBodyException(
          RefusalReason.MALFORMED_BODY, withLineNumber(e, e.getOriginalMessage()));
    } catch (JsonProcessingException e) {
      throw new InvalidBodyException(
          RefusalReason.MALFORMED_BODY, withLineNumber(e, e.getOriginalMessage()));
    } catch (IOException e) {
      throw new InvalidBodyException(RefusalReason.MALFORMED_BODY, e.getMessage());
    }
  }

  private static String withLineNumber(JsonProcessingException e, String message) {
    JsonLocation l = e.getLocation();
    return l == null ? message : "line " + l.getLineNr() + ": " + message;
  }

  /** Ends the response with an object as JSON. */
  static void write(RoutingContext ctx, int status, Object answer) {
    try {
      ctx.response()
          .setStatusCode(status)
          .putHeader("content-type", "application/json")
          .end(Buffer.buffer(JSON.writeValueAsBytes(answer)));
    } catch (JsonProcessingException e) {
      ctx.fail(e);
    }
  }
}
