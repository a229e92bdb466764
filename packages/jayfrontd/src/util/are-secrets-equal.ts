import { createHash, timingSafeEqual } from "node:crypto";

const digest = (value: string): Buffer => createHash("sha256").update(value).digest();

/** Whether two secrets are equal, in time that tells nothing about either. */
export const areSecretsEqual = (left: string, right: string): boolean => timingSafeEqual(digest(left), digest(right));
