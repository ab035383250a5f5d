export const placeholder = true;
