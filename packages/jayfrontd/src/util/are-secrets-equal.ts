import { createHash, timingSafeEqual } from "node:crypto";

const digest = (value: string): Buffer => createHash("sha256").update(value).digest();

/** Whether two secrets are equal. The time that it takes does not depend on their contents. */
export const areSecretsEqual = (left: string, right: string): boolean => timingSafeEqual(digest(left), digest(right));
