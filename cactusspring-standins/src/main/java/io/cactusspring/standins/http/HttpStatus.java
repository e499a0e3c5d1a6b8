package io.cactusspring.standins.http;

/** The HTTP status codes used by the stand-ins. */
public final class HttpStatus {
  public static final int OK = 200;
  public static final int BAD_REQUEST = 400;
  public static final int NOT_FOUND = 404;
  public static final int CONFLICT = 409;
  public static final int GONE = 410;
  public static final int TOO_LARGE = 413;
  public static final int SERVER_ERROR = 500;
  public static final int UNAVAILABLE = 503;

  private HttpStatus() {}
}
